// Simulates one service shard with callers and targets in virtual time, and
// injects faults of every kind. Checks the shard's answers against a reference
// model of each request.
#ifndef LAVENDERTACK_UNITTESTS_TRAFFIC_SHARD_SIMULATION_H_
#define LAVENDERTACK_UNITTESTS_TRAFFIC_SHARD_SIMULATION_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "Traffic/service_shard.h"
#include "UnitTests/Support/random_run.h"

namespace lavendertack::testing {

// `events` counts the events that the shard receives. `flows` and `targets` are
// the numbers of simulated callers and targets.
struct shard_simulation_settings {
  std::uint64_t seed = 1;
  std::uint64_t events = 100'000;
  int flows = 150;
  int targets = 6;
  double fault_rate = 1.0;  // Multiplies the rate of every fault.
};

// Simulation of one shard. All random choices depend only on the seed.
class shard_simulation {
 public:
  explicit shard_simulation(shard_simulation_settings settings);

  // Runs the events; aborts through CHECK at the first broken invariant.
  void Run();

  // Number of times that each fault, refusal and outcome occurred.
  const std::map<std::string, std::uint64_t>& counts() const { return counts_; }

 private:
  using request_id = std::pair<std::uint64_t, std::uint64_t>;

  struct fake_target {
    target_name name;
    std::uint64_t boot = 0;
    std::uint32_t slots = 2;
    target_state state = target_state::kReady;
    instant cold_until;
    instant frozen_until;
    // Number of running requests, by the epoch of the owner that sent them.
    std::map<std::uint64_t, std::uint32_t> running;
    // Attempts that haven't started yet, and whether they were cancelled.
    std::map<attempt_id, bool> cancelled;
    bool announced_leaving = false;
  };
  // Reference model of a request.
  struct request_model {
    bool repeatable = false;
    int runs = 0;                       // How often a target started it.
    std::optional<answer_kind> answer;  // The latest answer.
    refusal_reason reason = refusal_reason::kNone;
    std::uint64_t answer_epoch = 0;  // Epoch of the owner that answered.
    instant answered;
    std::optional<instant> deadline;  // Set while an answer is due.
  };
  struct fake_caller {
    std::uint64_t flow = 0;
    std::uint64_t number = 0;  // Highest request number sent.
    std::optional<flow_token> token;
    bool waiting = false;
    bool has_skipped_number = false;  // The skipped number is sent later.
  };

  bool Chance(double probability);
  microseconds RandomDuration(milliseconds low, milliseconds high);
  void Count(const std::string& name) { ++counts_[name]; }
  void Reduce(const shard_event& event);
  void Tick();
  void ChangeOwner(bool planned);
  void StartNewOwner();

  void StartCaller(int index);
  void RunCallerStep(int index);
  void SendRequest(int index, std::uint64_t number);
  // Sends a datagram and up to `resends` copies. Each may be lost or delayed.
  void SendWithLoss(caller_packet packet, int resends);
  void HandleAnswer(const caller_answer& answer);
  void CheckAnswer(const caller_answer& answer, request_model* model);

  void Announce(int index);
  void InjectTargetFault(int index);
  void HandleRun(const send_run& run);
  void StartRequest(int index, std::uint64_t boot, const run_order& order);
  void SendAnswer(int index, std::uint64_t boot, const run_order& order,
                  run_status status);
  void HandleCancel(const send_cancel& cancel);
  // Returns the index of the target and sets the boot id of its connection.
  int TargetIndexOf(const target_connection& connection,
                    std::uint64_t* boot) const;

  shard_simulation_settings settings_;
  std::mt19937_64 random_;
  event_queue queue_;
  std::uint64_t epoch_ = 1;
  std::unique_ptr<service_shard> shard_;
  shard_view view_;
  std::uint64_t events_ = 0;     // Events passed to the shards.
  std::uint64_t last_boot_ = 0;  // Latest boot id of a target.
  std::vector<fake_target> targets_;
  std::vector<fake_caller> callers_;
  std::map<request_id, request_model> request_models_;
  timer_queue<request_id> deadlines_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_TRAFFIC_SHARD_SIMULATION_H_
