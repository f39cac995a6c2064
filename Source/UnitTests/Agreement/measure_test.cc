// Prints the tables of docs/measurements/agreement.md. Hidden by default; run
// with: AgreementTest "[.measure]"
#include <malloc.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>

#include "UnitTests/Agreement/replica_simulation.h"

namespace lavendertack {
namespace {

using testing::replica_simulation;

// Returns a ticket of a typical size: two classes and one service.
change_ticket Ticket(std::uint64_t number) {
  return {.number = {number},
          .services = {{{"catalogue"}, {{"browse"}, {"hold"}}, seconds(60)}},
          .classes = {{{"browse"}, {1}}, {{"hold"}, {9}}},
          .data_centres = {}};
}

TEST_CASE("commit latency on links of 4 ms", "[.measure]") {
  std::printf("replicas  p50 ms  p99 ms  messages a ticket\n");
  for (const std::size_t replicas : {3, 5, 7}) {
    replica_simulation simulation({.seed = 1,
                                   .initial_voters = replicas,
                                   .spares = 0,
                                   .learners = 0,
                                   .min_delay = microseconds(4000),
                                   .max_delay = microseconds(4000)});
    simulation.queue().RunUntil(simulation.queue().Now() + seconds(20));
    const std::uint64_t before = simulation.messages();
    std::vector<double> latencies_ms;
    for (std::uint64_t number = 1; number <= 200; ++number) {
      const instant start = simulation.queue().Now();
      bool answered = false;
      simulation.Submit(number % replicas, Ticket(number),
                        [&](const auto&) { answered = true; });
      while (!answered) REQUIRE(simulation.queue().RunNext());
      const microseconds latency = simulation.queue().Now() - start;
      latencies_ms.push_back(static_cast<double>(latency.count()) / 1000);
      simulation.queue().RunUntil(simulation.queue().Now() + milliseconds(100));
    }
    std::sort(latencies_ms.begin(), latencies_ms.end());
    std::printf("%8zu  %6.1f  %6.1f  %.1f\n", replicas, latencies_ms[100],
                latencies_ms[198],
                static_cast<double>(simulation.messages() - before) / 200);
  }
}

TEST_CASE("recovery time against the length of the log", "[.measure]") {
  const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("lavendertack-measure-" + std::to_string(getpid()));
  std::filesystem::create_directories(folder);
  std::printf("tickets  bytes a ticket  append+sync us  recovery ms\n");
  for (const std::uint64_t count : {100, 1000, 4000}) {
    const std::string path = folder / ("log" + std::to_string(count));
    record_log writer;
    writer.Open(path);
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t i = 1; i <= count; ++i) {
      const std::string value = EncodeTicket(Ticket(i));
      wire::stored_record accepted;
      accepted.mutable_accepted()->set_index(i);
      accepted.mutable_accepted()->mutable_number()->set_round(i);
      accepted.mutable_accepted()->mutable_number()->set_proposer("nairobi-1a");
      accepted.mutable_accepted()->set_value(value);
      wire::stored_record promised;
      promised.mutable_promised()->set_index(i);
      *promised.mutable_promised()->mutable_number() =
          accepted.accepted().number();
      wire::stored_record chosen;
      chosen.mutable_chosen()->set_first(i);
      chosen.mutable_chosen()->add_values(value);
      writer.Append(promised.SerializeAsString());
      writer.Append(accepted.SerializeAsString());
      writer.Append(chosen.SerializeAsString());
    }
    const auto written = std::chrono::steady_clock::now();
    node restored({.self = {"nairobi-1a"},
                   .data_centre = {"nairobi-1"},
                   .deployment = "test",
                   .replica = true,
                   .members = {},
                   .incarnation = 1,
                   .seed = 1});
    record_log reader;
    const auto opened = reader.Open(path);
    for (const std::string& bytes : std::get<opened_log>(opened).records) {
      wire::stored_record record;
      REQUIRE(record.ParseFromString(bytes));
      restored.Restore(record);
    }
    const auto ready = std::chrono::steady_clock::now();
    REQUIRE(restored.agreed_directory().newest() == ticket_number{count});
    const std::chrono::duration<double, std::micro> writing = written - start;
    const std::chrono::duration<double, std::milli> recovery = ready - written;
    std::printf("%7lu  %14.0f  %14.0f  %11.1f\n", count,
                static_cast<double>(std::filesystem::file_size(path)) /
                    static_cast<double>(count),
                writing.count() / static_cast<double>(3 * count),
                recovery.count());
  }
  std::filesystem::remove_all(folder);
}

TEST_CASE("memory and snapshot size of kept tickets", "[.measure]") {
  const std::size_t before = mallinfo2().uordblks;
  directory agreed_directory;
  std::printf("tickets  heap bytes a ticket  snapshot bytes\n");
  for (std::uint64_t i = 1; i <= 3 * kMaxAcceptedTickets; ++i) {
    agreed_directory.Apply({i}, Ticket(i));
    if (i % kMaxAcceptedTickets != 0) continue;
    const std::size_t heap = mallinfo2().uordblks - before;
    std::printf("%7lu  %19.0f  %14zu\n", i,
                static_cast<double>(heap) / kMaxAcceptedTickets,
                agreed_directory.Save().ByteSizeLong());
  }
}

}  // namespace
}  // namespace lavendertack
