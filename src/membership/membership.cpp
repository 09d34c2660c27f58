#include "membership/instance_table.hpp"
#include "membership/status_json.hpp"

#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/core/placement.hpp>
#include <fulmarjunction/membership/membership.hpp>

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

/// Limit on the statuses in one `leave` message.
constexpr std::size_t max_leave_statuses = 64;
/// The state of a peer that is not a probe neighbour is dropped after this
/// long without a message. This is longer than a network partition of regions
/// lasts, so that each side then receives the changes that it missed.
constexpr duration peer_retention = std::chrono::hours(1);

/// A timestamp held for longer is not echoed: evidence of such an age affects
/// no decision, and messages limit the ages that they carry.
constexpr duration max_hold_time = seconds(60);
/// Number of probe neighbours in fleets of up to 64 instances.
constexpr std::size_t min_offsets = 3;
/// Upper bound on the scaled repeat interval and expiry of a report.
constexpr duration max_report_lifetime = std::chrono::minutes(30);

/// State of the exchange of changes with one peer.
struct peer_state
{
    std::uint32_t id = 0;
    incarnation_number incarnation = 0;
    /// Position in this node's log that the peer has confirmed.
    std::uint64_t acknowledged = 0;
    /// End of this node's log when the peer became known.
    std::uint64_t implied_to = 0;
    /// Position in the peer's log up to which it was received.
    std::uint64_t received = 0;
    std::optional<std::int64_t> timestamp;
    time_point timestamp_received_at;
    time_point last_received_at;
};

/// Monitoring state of one probe neighbour.
struct target_state
{
    time_point next_probe;
    std::optional<time_point> sent_at;
    std::size_t consecutive_misses = 0;
    std::optional<time_point> answered_at;
    incarnation_number answered_incarnation = 0;
    std::optional<time_point> failing_since;
    std::uint64_t sequence = 0;
    /// When to repeat the report; empty while there is none.
    std::optional<time_point> repeat_at;
    incarnation_number reported_incarnation = 0;
};

struct section_handlers
{
    membership::section_source source;
    membership::section_sink sink;
};

/// Whether the status ends new work for its instance, so that it is relayed
/// at once.
bool stops_work(const instance_status& status)
{
    return status.leaving || status.draining || !status.ready;
}

} // namespace

class membership::impl
{
public:
    impl(membership_settings settings, instance_record self, time_point start)
        : settings_(settings), self_(std::move(self)), start_(start),
          table_(self_.name)
    {
        restart_log();
        own_status_.name = self_.name;
        own_status_.incarnation = self_.incarnation;
        own_status_.record = self_;
        publish_own(start);
        next_seed_probe_ = start;
    }

    void raise_incarnation(incarnation_number incarnation)
    {
        if (incarnation <= self_.incarnation)
            return;
        self_.incarnation = incarnation;
        own_status_.incarnation = incarnation;
        restart_log();
        publishes_status_ = false;
        publish_own(start_);
    }

    void apply_row(const table_row& row, time_point now)
    {
        table_.apply_row(row, now);
        notify();
    }

    void
    backend_announced(const backend_announcement& announcement, time_point now)
    {
        announced_at_ = now;
        auto status = own_status_;
        status.service = announcement.service;
        status.slots = announcement.slots;
        status.ready = true;
        status.draining = announcement.draining;
        set_own(std::move(status), now);
    }

    void backend_lost(time_point now)
    {
        announced_at_.reset();
        auto status = own_status_;
        status.ready = false;
        set_own(std::move(status), now);
    }

    bool is_backend_ready(time_point now) const
    {
        return announced_at_ &&
               now - *announced_at_ < settings_.announce_timeout &&
               own_status_.ready && !own_status_.draining;
    }

    void leave(time_point now)
    {
        auto status = own_status_;
        status.leaving = true;
        set_own(std::move(status), now);
    }

    outgoing_messages
    tick(time_point now, table_version version, const evidence_list& evidence)
    {
        detect_pause(now);
        if (announced_at_ && now - *announced_at_ >= settings_.announce_timeout)
            backend_lost(now);
        start_publishing(now);
        update_targets(now);
        for (auto& [name, target] : targets_)
            update_report(name, target, now);
        if (table_.is_expiry_due(now))
            table_.expire(now, settings_.forget_after, directly_reachable(now));
        forget_peers(now);
        outgoing_messages outgoing;
        add_probes(outgoing, now, version, evidence);
        add_relays(outgoing, now);
        notify();
        return outgoing;
    }

    probe_reply probe_received(
        const probe_message& message, time_point now, table_version version,
        const evidence_list& evidence)
    {
        probe_reply reply;
        reply.learned.version = message.version;
        reply.learned.counted_from = now;
        if (process_message(message, now)) {
            if (const auto earliest = earliest_send_time(message, now)) {
                reply.learned.counted_from = *earliest;
                reply.learned.evidence = message.evidence;
            }
        }
        reply.message = make_message(message.from, now, version, evidence);
        notify();
        return reply;
    }

    probe_result probe_answered(
        const instance_name& to, const probe_message& answer, time_point sent,
        time_point now)
    {
        probe_result learned{answer.version, {}, sent};
        if (process_message(answer, now))
            learned.evidence = answer.evidence;
        const auto found = targets_.find(to);
        if (found != targets_.end() && answer.from == to)
            probe_succeeded(to, found->second, answer.incarnation, now);
        notify();
        return learned;
    }

    void probe_failed(const instance_name& to, time_point now)
    {
        const auto found = targets_.find(to);
        if (found == targets_.end())
            return;
        record_miss(found->second, now);
        update_report(to, found->second, now);
        notify();
    }

    void leave_received(const leave_message& message, time_point now)
    {
        for (const auto& status : message.statuses) {
            const auto peer = peers_.find(message.from);
            const auto id = peer == peers_.end() ? 0 : peer->second.id;
            if (table_.apply_status(status, id, now))
                relay(status.name, message.from);
        }
        notify();
    }

    void
    attach_section(std::string name, section_source source, section_sink sink)
    {
        sections_[std::move(name)] = {std::move(source), std::move(sink)};
    }

    void observe_services(service_observer observer)
    {
        observers_.push_back(std::move(observer));
    }

    void add_seed(std::string address) { seeds_.push_back(std::move(address)); }

    detail::instance_table& table() { return table_; }
    const detail::instance_table& table() const { return table_; }
    const instance_record& self() const { return self_; }
    const instance_status& own_status() const { return own_status_; }
    const std::vector<instance_name>& neighbours() const
    {
        return table_.neighbours();
    }

    std::size_t state_bytes() const
    {
        constexpr std::size_t peer_bytes = sizeof(peer_state) + 96;
        constexpr std::size_t target_bytes = sizeof(target_state) + 96;
        return table_.state_bytes() + peers_.size() * peer_bytes +
               targets_.size() * target_bytes;
    }

private:
    struct pending_relay
    {
        instance_name about;
        instance_name learned_from;
    };

    /// Log positions of a restarted node are above those of its earlier
    /// incarnation, so that a late acknowledgement of an earlier position has
    /// no effect.
    void restart_log()
    {
        constexpr incarnation_number microseconds_per_millisecond = 1000;
        table_.start_log(static_cast<std::int64_t>(
            self_.incarnation / microseconds_per_millisecond));
        timestamp_base_ = timestamp_base();
    }

    /// Each incarnation counts its timestamps from a different base, so that an
    /// echo of an earlier incarnation's timestamp is recognized whatever its
    /// clock was.
    std::int64_t timestamp_base() const
    {
        // The base is below 2^52, so sums cannot overflow.
        constexpr int unused_bits = 12;
        const auto hash = placement_hash(
            self_.name + '/' + std::to_string(self_.incarnation));
        return static_cast<std::int64_t>(hash >> unused_bits);
    }

    std::int64_t timestamp_of(time_point now) const
    {
        return timestamp_base_ + to_milliseconds(now - start_);
    }

    void publish_own(time_point now)
    {
        own_status_.record = self_;
        table_.set_own(own_status_, now, publishes_status_);
    }

    /// The status is held back until the table has had time to distribute this
    /// node's row, because without the row it carries the whole record.
    void start_publishing(time_point now)
    {
        if (publishes_status_)
            return;
        publishes_status_ = table_.has_own_row(self_.incarnation) ||
                            now - start_ >= settings_.announce_timeout;
        if (publishes_status_)
            publish_own(now);
    }

    void set_own(instance_status status, time_point now)
    {
        status.counter = own_status_.counter;
        if (status == own_status_)
            return;
        const bool stopped = stops_work(status);
        own_status_ = std::move(status);
        ++own_status_.counter;
        self_.service = own_status_.service;
        self_.slots = own_status_.slots;
        self_.leaving = own_status_.leaving;
        publish_own(now);
        if (stopped)
            relay(self_.name, {});
        notify();
    }

    void notify()
    {
        for (const auto& service : table_.take_changed_services()) {
            for (const auto& observer : observers_)
                observer(service);
        }
    }

    /// Resets the probes after a pause of this process: failures around it are
    /// no evidence against the targets.
    void detect_pause(time_point now)
    {
        const bool paused =
            last_tick_ && now - *last_tick_ > 2 * settings_.probe_interval;
        last_tick_ = now;
        if (!paused)
            return;
        log(log_level::warning, "membership_paused");
        for (auto& [name, target] : targets_) {
            target.consecutive_misses = 0;
            target.sent_at.reset();
            target.next_probe = now;
        }
    }

    void update_targets(time_point now)
    {
        if (!table_.take_ring_change())
            return;
        const auto names = table_.neighbours();
        std::erase_if(targets_, [&](const auto& entry) {
            return std::find(names.begin(), names.end(), entry.first) ==
                   names.end();
        });
        for (const auto& name : names) {
            if (targets_.contains(name))
                continue;
            // Probes are spread over the interval to avoid bursts.
            constexpr std::uint64_t steps = 1024;
            const auto phase = placement_hash(self_.name + '>' + name) % steps;
            targets_[name].next_probe = now + settings_.probe_interval *
                                                  static_cast<int>(phase) /
                                                  static_cast<int>(steps);
        }
    }

    void add_probes(
        outgoing_messages& outgoing, time_point now, table_version version,
        const evidence_list& evidence)
    {
        for (auto& [name, target] : targets_) {
            if (now < target.next_probe)
                continue;
            // The caller reports the outcome of a probe within one interval; a
            // probe without an outcome counts as missed.
            if (target.sent_at)
                record_miss(target, now);
            target.sent_at = now;
            advance_probe(target.next_probe, now);
            outgoing.probes.push_back(
                {name, table_.address_of(name),
                 make_message(name, now, version, evidence)});
        }
        if (!has_contact(now))
            add_seed_probe(outgoing, now, version, evidence);
    }

    /// Seeds only serve to find the first instance that answers. One is tried
    /// at a time and nodes start with different ones, so that a zone that
    /// boots at once does not fetch all its rows from one seed.
    void add_seed_probe(
        outgoing_messages& outgoing, time_point now, table_version version,
        const evidence_list& evidence)
    {
        if (seeds_.empty() || now < next_seed_probe_)
            return;
        advance_probe(next_seed_probe_, now);
        const auto seed_index =
            (placement_hash(self_.name) + seed_tries_++) % seeds_.size();
        outgoing.probes.push_back(
            {{}, seeds_[seed_index], make_message({}, now, version, evidence)});
    }

    void advance_probe(time_point& next, time_point now) const
    {
        next += settings_.probe_interval;
        if (next <= now)
            next = now + settings_.probe_interval;
    }

    bool has_contact(time_point now) const
    {
        const auto recent =
            settings_.failure_threshold * settings_.probe_interval;
        return std::any_of(
            targets_.begin(), targets_.end(), [&](const auto& entry) {
                const auto& answered = entry.second.answered_at;
                return answered && now - *answered < recent;
            });
    }

    void relay(const instance_name& about, const instance_name& learned_from)
    {
        const auto same = [&](const pending_relay& entry) {
            return entry.about == about;
        };
        if (std::none_of(relays_.begin(), relays_.end(), same))
            relays_.push_back({about, learned_from});
    }

    void add_relays(outgoing_messages& outgoing, time_point now)
    {
        if (now - relay_window_start_ >= seconds(1)) {
            relay_window_start_ = now;
            relayed_in_window_ = 0;
        }
        const auto allowed =
            settings_.max_relays_per_second - relayed_in_window_;
        relays_.resize(std::min(relays_.size(), allowed));
        relayed_in_window_ += relays_.size();
        if (relays_.empty())
            return;
        for (const auto& name : table_.neighbours()) {
            outgoing_leave item{
                name, table_.address_of(name), {self_.name, {}}};
            for (const auto& entry : relays_) {
                if (entry.learned_from == name || entry.about == name)
                    continue;
                if (item.message.statuses.size() == max_leave_statuses)
                    break;
                if (auto status = table_.status_to_send(entry.about))
                    item.message.statuses.push_back(std::move(*status));
            }
            if (!item.message.statuses.empty())
                outgoing.leaves.push_back(std::move(item));
        }
        relays_.clear();
    }

    peer_state& peer(const instance_name& name, time_point now)
    {
        auto& state = peers_[name];
        if (state.id == 0) {
            state.id = ++last_peer_id_;
            state.implied_to = table_.log_end();
            state.last_received_at = now;
        }
        return state;
    }

    void forget_peers(time_point now)
    {
        if (now - last_peer_check_ < seconds(1))
            return;
        last_peer_check_ = now;
        std::erase_if(peers_, [&](const auto& entry) {
            return now - entry.second.last_received_at > peer_retention &&
                   !table_.is_probe_peer(entry.first);
        });
    }

    probe_message make_message(
        const instance_name& to, time_point now, table_version version,
        const evidence_list& evidence)
    {
        probe_message message;
        message.from = self_.name;
        message.incarnation = self_.incarnation;
        message.version = version;
        message.timestamp = timestamp_of(now);
        message.evidence = evidence;
        for (const auto& [name, handlers] : sections_)
            add_section(message, name, handlers, to);
        if (to.empty()) {
            // The name of a seed is not known yet, so there is no state of the
            // exchange with it: it is only sent this node's own status.
            auto status = table_.status_to_send(self_.name);
            if (status && publishes_status_)
                message.statuses.push_back(std::move(*status));
            return message;
        }
        const auto& state = peer(to, now);
        message.acknowledged = state.received;
        if (state.timestamp &&
            now - state.timestamp_received_at < max_hold_time) {
            message.echo = state.timestamp;
            message.hold_time = std::chrono::floor<milliseconds>(
                std::max(now - state.timestamp_received_at, duration::zero()));
        }
        table_.collect(
            message, {state.id, state.acknowledged, state.implied_to},
            settings_.max_probe_items_bytes, now);
        return message;
    }

    void add_section(
        probe_message& message, const std::string& name,
        const section_handlers& handlers, const instance_name& to) const
    {
        if (!handlers.source)
            return;
        auto value = handlers.source(to);
        if (!value)
            return;
        if (boost::json::serialize(*value).size() >
            settings_.max_section_bytes) {
            log(log_level::warning, "section_too_large", {{"section", name}});
            return;
        }
        message.sections[name] = std::move(*value);
    }

    /// Processes everything in a message except evidence.
    /// @return false for a message of an earlier incarnation of its sender
    bool process_message(const probe_message& message, time_point now)
    {
        if (message.from == self_.name)
            return false;
        auto& state = peer(message.from, now);
        if (message.incarnation < state.incarnation)
            return false;
        if (message.incarnation > state.incarnation) {
            const auto id = state.id;
            state = {};
            state.id = id;
            state.implied_to = table_.log_end();
            state.incarnation = message.incarnation;
        }
        state.last_received_at = now;
        if (message.acknowledged <= table_.log_end())
            state.acknowledged =
                std::max(state.acknowledged, message.acknowledged);
        if (!state.timestamp || *state.timestamp <= message.timestamp) {
            state.timestamp = message.timestamp;
            state.timestamp_received_at = now;
        }
        for (const auto& status : message.statuses) {
            if (status.name != self_.name)
                table_.apply_status(status, state.id, now);
        }
        for (const auto& report : message.reports)
            table_.apply_report(report, state.id, now);
        state.received = std::max(state.received, message.upto);
        dispatch_sections(message);
        return true;
    }

    void dispatch_sections(const probe_message& message) const
    {
        for (const auto& [name, handlers] : sections_) {
            const auto* value = message.sections.if_contains(name);
            if (value != nullptr && handlers.sink)
                handlers.sink(message.from, *value);
        }
    }

    /// Returns a lower bound of the time at which the message was sent: the
    /// sender had held the echoed message of this node for `hold_time`.
    std::optional<time_point>
    earliest_send_time(const probe_message& message, time_point now) const
    {
        if (!message.echo || *message.echo < timestamp_base_)
            return std::nullopt;
        const auto since_start = milliseconds(*message.echo - timestamp_base_);
        if (since_start > now - start_)
            return std::nullopt;
        const auto elapsed = since_start + message.hold_time;
        const auto earliest = start_ + elapsed;
        if (earliest > now)
            return std::nullopt;
        return earliest;
    }

    void probe_succeeded(
        const instance_name& name, target_state& target,
        incarnation_number incarnation, time_point now)
    {
        target.sent_at.reset();
        target.consecutive_misses = 0;
        target.failing_since.reset();
        target.answered_at = now;
        target.answered_incarnation = incarnation;
        if (!target.repeat_at)
            return;
        target.repeat_at.reset();
        issue_report(name, target, false, now);
    }

    void record_miss(target_state& target, time_point now) const
    {
        target.sent_at.reset();
        ++target.consecutive_misses;
        if (target.consecutive_misses >= settings_.failure_threshold &&
            !target.failing_since)
            target.failing_since = now;
    }

    /// Issues or repeats the report about a neighbour when it is due.
    void update_report(
        const instance_name& name, target_state& target, time_point now)
    {
        if (!target.failing_since)
            return;
        const auto incarnation = table_.incarnation_of(name);
        if (target.repeat_at && target.reported_incarnation != incarnation)
            target.repeat_at.reset();
        if (target.repeat_at && now < *target.repeat_at)
            return;
        const auto rank = table_.monitor_rank(name, now);
        const bool is_immediate = rank < 2;
        if (!is_immediate) {
            const auto wait = static_cast<int>(rank - 1);
            if (now < *target.failing_since + wait * stagger())
                return;
            if (table_.reports_by_others(name, now) >= 2) {
                if (target.repeat_at)
                    target.repeat_at = now + settings_.report_repeat_interval;
                return;
            }
        }
        issue_report(name, target, true, now);
        target.repeat_at = now + scaled(settings_.report_repeat_interval);
        target.reported_incarnation = incarnation;
    }

    /// Scales the interval or expiry of a report, because a report must outlast
    /// its dissemination, which is slower the more reports are current.
    duration scaled(duration span) const
    {
        const auto ratio = [](std::size_t count, std::size_t unit) {
            return static_cast<double>(count) / static_cast<double>(unit);
        };
        const auto factor = std::max(
            {1.0,
             ratio(table_.current_reports(), settings_.max_unscaled_reports),
             ratio(table_.size(), settings_.max_unscaled_instances)});
        return std::min(
            from_seconds(to_seconds(span) * factor), max_report_lifetime);
    }

    /// In a larger fleet, the first reports take longer to reach the other
    /// monitors, and there are more monitors.
    duration stagger() const
    {
        const auto steps =
            targets_.size() <= min_offsets
                ? 1
                : static_cast<int>(targets_.size() - min_offsets) + 1;
        return steps * settings_.report_stagger;
    }

    void issue_report(
        const instance_name& name, target_state& target, bool failing,
        time_point now)
    {
        failure_report report;
        report.about = name;
        report.incarnation =
            failing ? table_.incarnation_of(name) : target.reported_incarnation;
        report.reporter = self_.name;
        // Sequence numbers of a restarted reporter are above its earlier ones,
        // because at most one report is issued per second.
        constexpr incarnation_number microseconds_per_second = 1'000'000;
        target.sequence = std::max<std::uint64_t>(
            target.sequence + 1,
            self_.incarnation / microseconds_per_second +
                static_cast<std::uint64_t>(
                    std::chrono::floor<seconds>(now - start_).count()));
        report.sequence = target.sequence;
        report.failing = failing;
        report.expires_in =
            std::chrono::ceil<milliseconds>(scaled(settings_.report_expiry));
        table_.apply_report(report, 0, now);
    }

    std::set<instance_name> directly_reachable(time_point now) const
    {
        const auto recent =
            (static_cast<int>(settings_.failure_threshold) + 1) *
            settings_.probe_interval;
        std::set<instance_name> names;
        for (const auto& [name, target] : targets_) {
            if (!target.failing_since && target.answered_at &&
                now - *target.answered_at < recent &&
                target.answered_incarnation >= table_.incarnation_of(name))
                names.insert(name);
        }
        return names;
    }

    membership_settings settings_;
    instance_record self_;
    instance_status own_status_;
    time_point start_;
    detail::instance_table table_;
    std::map<instance_name, peer_state> peers_;
    std::map<instance_name, target_state> targets_;
    std::map<std::string, section_handlers> sections_;
    std::vector<service_observer> observers_;
    std::vector<std::string> seeds_;
    std::int64_t timestamp_base_ = 0;
    std::uint64_t seed_tries_ = 0;
    time_point next_seed_probe_;
    std::vector<pending_relay> relays_;
    std::optional<time_point> announced_at_;
    std::optional<time_point> last_tick_;
    bool publishes_status_ = false;
    time_point relay_window_start_;
    time_point last_peer_check_;
    std::size_t relayed_in_window_ = 0;
    std::uint32_t last_peer_id_ = 0;
};

membership::membership(
    membership_settings settings, instance_record self, time_point start)
    : impl_(std::make_unique<impl>(settings, std::move(self), start))
{
}

membership::~membership() = default;

void membership::attach_section(
    std::string name, section_source source, section_sink sink)
{
    impl_->attach_section(std::move(name), std::move(source), std::move(sink));
}

void membership::observe_services(service_observer observer)
{
    impl_->observe_services(std::move(observer));
}

void membership::add_seed(std::string address)
{
    impl_->add_seed(std::move(address));
}

void membership::raise_incarnation(incarnation_number incarnation)
{
    impl_->raise_incarnation(incarnation);
}

void membership::apply_row(const table_row& row, time_point now)
{
    impl_->apply_row(row, now);
}

void membership::backend_announced(
    const backend_announcement& announcement, time_point now)
{
    impl_->backend_announced(announcement, now);
}

void membership::backend_lost(time_point now)
{
    impl_->backend_lost(now);
}

bool membership::is_backend_ready(time_point now) const
{
    return impl_->is_backend_ready(now);
}

void membership::leave(time_point now)
{
    impl_->leave(now);
}

outgoing_messages membership::tick(
    time_point now, table_version version, const evidence_list& evidence)
{
    return impl_->tick(now, version, evidence);
}

probe_reply membership::probe_received(
    const probe_message& message, time_point now, table_version version,
    const evidence_list& evidence)
{
    return impl_->probe_received(message, now, version, evidence);
}

probe_result membership::probe_answered(
    const instance_name& to, const probe_message& answer, time_point sent,
    time_point now)
{
    return impl_->probe_answered(to, answer, sent, now);
}

void membership::probe_failed(const instance_name& to, time_point now)
{
    impl_->probe_failed(to, now);
}

void membership::leave_received(const leave_message& message, time_point now)
{
    impl_->leave_received(message, now);
}

std::vector<service_candidate>
membership::candidates(const service_name& service) const
{
    return impl_->table().candidates(service);
}

std::vector<service_name> membership::services() const
{
    return impl_->table().services();
}

const std::vector<instance_name>& membership::live() const
{
    return impl_->table().live({});
}

const std::vector<instance_name>&
membership::live_in(const availability_zone& zone) const
{
    return impl_->table().live(zone);
}

const std::set<availability_zone>& membership::zones() const
{
    return impl_->table().zones();
}

bool membership::is_down(const instance_name& name) const
{
    return impl_->table().is_down(name);
}

std::optional<instance_view> membership::find(const instance_name& name) const
{
    return impl_->table().find(name);
}

std::string membership::address_of(const instance_name& name) const
{
    return impl_->table().address_of(name);
}

std::vector<instance_name> membership::neighbours() const
{
    return impl_->neighbours();
}

const instance_record& membership::self() const
{
    return impl_->self();
}

const instance_status& membership::own_status() const
{
    return impl_->own_status();
}

std::size_t membership::size() const
{
    return impl_->table().size();
}

std::size_t membership::state_bytes() const
{
    return impl_->state_bytes();
}

} // namespace fulmarjunction
