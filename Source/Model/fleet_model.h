// A whole deployment in virtual time, driving the real reducers: control
// instances, entry instances, routers that spread callers over them, callers
// with retransmissions and retries, targets with slots and queues.
//
// Where it errs: packets aren't lost on the way and take a fixed time; an
// answer of several packets arrives at once; control instances keep no records
// and aren't restarted; targets are never slow for their age.
#ifndef LAVENDERTACK_MODEL_FLEET_MODEL_H_
#define LAVENDERTACK_MODEL_FLEET_MODEL_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "Common/event_queue.h"
#include "Control/control_instance.h"
#include "Entry/entry_instance.h"
#include "Model/scenario.h"

namespace lavendertack {

struct class_result {
  std::uint64_t asked = 0;
  std::uint64_t in_aim = 0;
  std::uint64_t late = 0;
  std::uint64_t refused = 0;       // Its last try was refused or shed, not run.
  std::uint64_t failed = 0;        // No answer, or broken off.
  std::vector<microseconds> took;  // Of those that were served.
};

struct model_result {
  std::map<std::string, class_result> classes;
  std::uint64_t flows = 0;  // That were opened.
  // Open flows that were reset, or whose packets weren't sent on until the
  // deadline, though their target lived.
  std::uint64_t broken_flows = 0;
  // Requests at the busiest target by the mean, by service, over targets that
  // lived throughout.
  std::map<service_name, double> imbalance;
};

class fleet_model {
 public:
  fleet_model(model_scenario scenario, model_policy policy, std::uint64_t seed);
  ~fleet_model();

  model_result Run();

 private:
  struct target_state;
  struct entry_state;
  struct flow_state;
  struct request_state;
  struct on_the_way;
  using flow_ref = std::shared_ptr<flow_state>;
  using request_ref = std::shared_ptr<request_state>;

  // The fleet itself.
  void StartControls();
  void StartEntry(std::size_t i);
  void TickControl(std::size_t i);
  void TickEntry(std::size_t i, std::uint64_t life);
  void Dispatch(std::size_t i, const control_event& event);
  void SendToControl(const instance_name& name, const link_id& link,
                     wire::fleet_message message);
  void Reply(const link_id& to, const wire::fleet_message& message);
  const known_target* Choose(const std::vector<const known_target*>& among);

  // Targets.
  void AddTargets();
  void Report(std::size_t i);
  void TakeRequest(std::size_t i, const request_ref& one);
  void Work(std::size_t i, const request_ref& one);
  void EndWork(std::size_t i, std::uint64_t attempt, const request_ref& one);
  void Drain(std::size_t i);
  void EndDrained(std::size_t i);

  // Callers.
  void ScheduleNext(std::size_t class_index);
  void Ask(std::size_t class_index);
  void Try(const request_ref& one);
  void SendOpening(const request_ref& one, std::uint32_t retransmission);
  void SendRequest(const request_ref& one, milliseconds again_after);
  void Opened(const request_ref& one);
  void Served(const request_ref& one);
  void EndTry(const request_ref& one, bool refused, bool may_repeat);
  void Finish(const request_ref& one, bool refused);

  // What the caller's data centre does with a packet.
  void SendPacket(const request_ref& one, const flow_packet& packet);
  void ReachEntry(const on_the_way& sent, std::size_t i);
  void ReachTarget(const on_the_way& sent, std::size_t i, target_tag tag);
  flow_packet PacketOf(const flow_state& from) const;
  microseconds PathTo(std::size_t data_centre, std::size_t target) const;
  void Play(const model_fault& fault);
  bool IsCounted(const request_state& one) const;
  model_result Results();

  instant Now() const { return queue_.Now(); }
  double Random() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  model_scenario scenario_;
  model_policy policy_;
  event_queue queue_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<control_instance>> controls_;
  std::vector<entry_state> entries_;
  std::vector<target_state> targets_;
  std::map<target_id, std::size_t> target_index_;
  // Flows without a request, by class and data centre.
  std::map<std::pair<std::size_t, std::size_t>, std::vector<flow_ref>> idle_;
  std::uint32_t next_caller_ = 0;
  std::uint64_t next_call_ = 0;
  instant traffic_from_;
  model_result result_;
};

}  // namespace lavendertack

#endif  // LAVENDERTACK_MODEL_FLEET_MODEL_H_
