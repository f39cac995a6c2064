// One service shard among fake callers and fake targets that fail in every
// way the brief names, in virtual time. A ledger remembers every flow and
// request and is the naive version that the shard's answers are held against.
#ifndef LAVENDERTACK_UNITTESTS_TRAFFIC_SHARD_WORLD_H_
#define LAVENDERTACK_UNITTESTS_TRAFFIC_SHARD_WORLD_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>

#include "Traffic/service_shard.h"
#include "UnitTests/Support/random_run.h"

namespace lavendertack::testing {

struct world_settings {
  std::uint64_t seed = 1;
  std::uint64_t events = 100'000;
  int flows = 150;
  int targets = 6;
  double fault_rate = 1.0;  // Multiplies the rate of every fault.
};

class shard_world {
 public:
  explicit shard_world(world_settings settings);

  // Runs the events; fails through CHECK on the first broken invariant.
  void Run();

  // How often each fault, refusal and outcome occurred.
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
    std::map<std::uint64_t, std::uint32_t> running;  // By owner epoch.
    std::map<attempt_id, bool> cancelled;            // Not started yet.
    bool told_leaving = false;
  };
  // What the naive version knows of a request.
  struct ledger_row {
    bool repeatable = false;
    int runs = 0;
    std::optional<answer_kind> answer;
    refusal_reason reason = refusal_reason::kNone;
    std::uint64_t answer_epoch = 0;
    instant answered;
    std::optional<instant> due;
  };
  struct fake_caller {
    std::uint64_t flow = 0;
    std::uint64_t number = 0;
    std::optional<flow_token> token;
    bool waiting = false;
    bool held_back = false;  // A number was skipped and comes later.
  };

  bool Chance(double probability);
  microseconds Between(milliseconds low, milliseconds high);
  void Count(const std::string& what) { ++counts_[what]; }
  void Reduce(const shard_event& event);
  void Tick();
  void NewOwner(bool planned);
  void ReplaceOwner();

  void StartCaller(int index);
  void ActCaller(int index);
  void SendRequest(int index, std::uint64_t number);
  void Deliver(caller_packet packet, int resends);
  void HandleAnswer(const caller_answer& answer);
  void CheckAnswer(const caller_answer& answer, ledger_row* row);

  void Announce(int index);
  void Disturb(int index);
  void HandleRun(const send_run& run);
  void Begin(int index, std::uint64_t boot, const run_order& order);
  void SendAnswer(int index, std::uint64_t boot, const run_order& order,
                  run_status status);
  void HandleCancel(const send_cancel& cancel);
  int IndexOf(const target_connection& connection, std::uint64_t* boot) const;

  world_settings settings_;
  std::mt19937_64 random_;
  event_queue queue_;
  std::uint64_t epoch_ = 1;
  std::unique_ptr<service_shard> shard_;
  shard_view view_;
  std::uint64_t events_ = 0;
  std::uint64_t boots_ = 0;
  std::vector<fake_target> targets_;
  std::vector<fake_caller> callers_;
  std::map<request_id, ledger_row> ledger_;
  timer_queue<request_id> due_;
  std::map<std::string, std::uint64_t> counts_;
};

}  // namespace lavendertack::testing

#endif  // LAVENDERTACK_UNITTESTS_TRAFFIC_SHARD_WORLD_H_
