#include <fulmarjunction/core/log.hpp>
#include <fulmarjunction/core/placement.hpp>
#include <fulmarjunction/membership/own_row.hpp>

#include <algorithm>
#include <utility>

namespace fulmarjunction {

namespace {

/// Renewals per lease term: two may fail before the lease expires.
constexpr int renewals_per_lease = 3;
constexpr duration max_backoff = seconds(60);
/// A backend server announces itself every second. Waiting for it avoids a
/// second version of the row at each start.
constexpr duration max_service_wait = seconds(2);
/// Clock rates of instances differ by less than 1 in this number.
constexpr int clock_rate_divisor = 100;
/// Interval after which a deletion is returned again, because its answer may
/// have been lost.
constexpr duration deletion_retry_interval = seconds(30);

} // namespace

own_row::own_row(
    instance_record record, time_point start,
    std::function<std::uint64_t()> random, duration initial_backoff)
    : desired_(std::move(record)), random_(std::move(random)),
      initial_backoff_(initial_backoff), backoff_(initial_backoff),
      next_step_at_(start), service_wait_until_(start + max_service_wait)
{
    desired_.renewals = 0;
}

bool own_row::is_renewal_due(time_point now) const
{
    return !renewed_at_ ||
           now - *renewed_at_ >= desired_.lease / renewals_per_lease;
}

bool own_row::is_settled() const
{
    if (pending_ != pending_operation::none || must_read_)
        return false;
    if (removing_)
        return removed_;
    return stored_ && *stored_ == desired_;
}

bool own_row::is_lease_valid(time_point now) const
{
    return lease_until_ && now < *lease_until_ && !superseded_;
}

own_row_action own_row::next(time_point now)
{
    if (pending_ != pending_operation::none || now < next_step_at_ ||
        superseded_ || removed_)
        return {};
    if (must_read_)
        return read_step();
    if (!written_ && desired_.service.empty() && now < service_wait_until_)
        return {};
    if (removing_ || !stored_ || is_renewal_due(now) || *stored_ != desired_)
        return write_step(now);
    return {};
}

own_row_action own_row::read_step()
{
    pending_ = pending_operation::read;
    return {own_row_step::read, instance_row_key(desired_.name), {}};
}

own_row_action own_row::write_step(time_point now)
{
    own_row_action action;
    action.step = own_row_step::commit;
    action.key = instance_row_key(desired_.name);
    action.change.conditions.push_back({action.key, row_version_});
    sent_at_ = now;
    if (removing_) {
        unconfirmed_.reset();
        action.change.writes.push_back({action.key, std::nullopt});
    } else {
        ++desired_.renewals;
        unconfirmed_ = desired_;
        action.change.writes.push_back({action.key, to_json(desired_)});
    }
    pending_ = pending_operation::commit;
    return action;
}

void own_row::read(const result<std::optional<table_row>>& row, time_point now)
{
    pending_ = pending_operation::none;
    if (!row) {
        back_off(now);
        return;
    }
    backoff_ = initial_backoff_;
    next_step_at_ = now;
    must_read_ = false;
    process_row(row.value(), now);
}

void own_row::process_row(const std::optional<table_row>& row, time_point now)
{
    if (!row || row->deleted) {
        row_version_ = 0;
        stored_.reset();
        unconfirmed_.reset();
        removed_ = removing_;
        return;
    }
    row_version_ = row->version;
    const auto record = parse_instance_record(row->key, row->value);
    if (!record) {
        // A malformed row is overwritten: only this instance writes its row.
        stored_.reset();
        unconfirmed_.reset();
        return;
    }
    process_existing_row(record.value(), now);
}

void own_row::process_existing_row(const instance_record& record, time_point)
{
    if (record.incarnation > desired_.incarnation ||
        (record.incarnation == desired_.incarnation && !written_ &&
         !unconfirmed_)) {
        if (written_ || unconfirmed_) {
            log(log_level::error, "instance_superseded",
                {{"incarnation", record.incarnation}});
            superseded_ = true;
            return;
        }
        desired_.incarnation = record.incarnation + 1;
    }
    if (record.incarnation != desired_.incarnation) {
        stored_.reset();
        unconfirmed_.reset();
        return;
    }
    stored_ = record;
    desired_.renewals = std::max(desired_.renewals, record.renewals);
    const bool is_applied = unconfirmed_ && *unconfirmed_ == record;
    unconfirmed_.reset();
    if (is_applied)
        record_renewal(row_version_);
}

void own_row::record_renewal(table_version version)
{
    row_version_ = version;
    written_ = true;
    renewed_at_ = sent_at_;
    lease_until_ = sent_at_ + desired_.lease;
}

void own_row::committed(const result<table_version>& outcome, time_point now)
{
    pending_ = pending_operation::none;
    if (outcome) {
        backoff_ = initial_backoff_;
        next_step_at_ = now;
        if (removing_ && !unconfirmed_) {
            removed_ = true;
            stored_.reset();
            return;
        }
        stored_ = std::exchange(unconfirmed_, std::nullopt);
        record_renewal(outcome.value());
        return;
    }
    // Either it is unknown whether the write took effect, or another write
    // came first: the row has to be read.
    must_read_ = true;
    back_off(now);
}

void own_row::back_off(time_point now)
{
    // Jitter between half and all of the wait keeps the nodes of a fleet from
    // retrying in step after an outage.
    constexpr std::uint64_t steps = 1024;
    const auto fraction = static_cast<std::int64_t>(random_() % steps);
    next_step_at_ =
        now + backoff_ / 2 + backoff_ / 2 * fraction / static_cast<int>(steps);
    backoff_ = std::min(2 * backoff_, max_backoff);
}

void own_row::set_backend(const service_name& service, std::size_t slots)
{
    desired_.service = service;
    desired_.slots = slots;
}

void own_row::mark_leaving()
{
    desired_.leaving = true;
}

void own_row::remove()
{
    removing_ = true;
}

void lease_expiry_monitor::apply_row(const table_row& row, time_point now)
{
    if (!row.key.starts_with(instance_row_prefix))
        return;
    const auto record =
        row.deleted
            ? result<instance_record>(fail(errc::not_found, "instance.row"))
            : parse_instance_record(row.key, row.value);
    if (!record) {
        entries_.erase(row.key);
        return;
    }
    const auto& record_value = record.value();
    auto& tracked = entries_[row.key];
    const bool renewed = tracked.version == 0 ||
                         tracked.incarnation != record_value.incarnation ||
                         tracked.renewals != record_value.renewals;
    if (renewed)
        tracked.first_seen = now;
    tracked.name = record_value.name;
    tracked.incarnation = record_value.incarnation;
    tracked.renewals = record_value.renewals;
    tracked.version = row.version;
    // Computed in clock ticks: 1% of a short lease is less than a second.
    tracked.lease = duration(record_value.lease) +
                    duration(record_value.lease) / clock_rate_divisor;
    tracked.next_attempt = tracked.first_seen + tracked.lease;
    next_check_ = std::min(next_check_, tracked.next_attempt);
}

bool lease_expiry_monitor::is_expired(
    const instance_name& name, incarnation_number incarnation,
    time_point now) const
{
    const auto found = entries_.find(instance_row_key(name));
    if (found == entries_.end() || found->second.incarnation != incarnation)
        return true;
    return now - found->second.first_seen >= found->second.lease;
}

std::vector<table_transaction> lease_expiry_monitor::due_deletions(
    time_point now, const instance_name& self,
    const std::vector<instance_name>& live, std::size_t limit)
{
    std::vector<table_transaction> deletions;
    if (now < next_check_)
        return deletions;
    next_check_ = time_point::max();
    for (auto& [key, tracked] : entries_) {
        next_check_ = std::min(next_check_, tracked.next_attempt);
        if (now < tracked.next_attempt || deletions.size() == limit)
            continue;
        const bool is_live =
            std::find(live.begin(), live.end(), tracked.name) != live.end();
        const auto first = rendezvous_first(key, live);
        if (is_live || !first || live[*first] != self)
            continue;
        tracked.next_attempt = now + deletion_retry_interval;
        deletions.push_back({{{key, tracked.version}}, {{key, std::nullopt}}});
    }
    return deletions;
}

} // namespace fulmarjunction
