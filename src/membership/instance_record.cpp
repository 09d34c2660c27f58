#include "replica/json_reader.hpp"

#include <fulmarjunction/membership/instance_record.hpp>

#include <boost/json/object.hpp>

#include <utility>

namespace fulmarjunction {

namespace {

constexpr std::size_t max_text_bytes = 256;

} // namespace

std::string instance_row_key(const instance_name& name)
{
    return std::string(instance_row_prefix) + name;
}

boost::json::value to_json(const instance_record& record)
{
    return boost::json::object{
        {"incarnation", record.incarnation},
        {"peer", record.peer_address},
        {"operator", record.operator_address},
        {"zone", record.zone},
        {"region", record.region},
        {"service", record.service},
        {"slots", record.slots},
        {"lease_s", record.lease.count()},
        {"renewals", record.renewals},
        {"leaving", record.leaving}};
}

result<instance_record>
parse_instance_record(std::string_view row_key, const boost::json::value& value)
{
    instance_record record;
    detail::object_reader fields(value);
    record.incarnation = fields.number("incarnation");
    record.peer_address = fields.text("peer", max_text_bytes);
    record.operator_address = fields.text("operator", max_text_bytes);
    record.zone = fields.text("zone", max_text_bytes);
    record.region = fields.text("region", max_text_bytes);
    record.service = fields.text("service", max_text_bytes);
    record.slots = fields.number("slots");
    record.lease = seconds(fields.number("lease_s"));
    record.renewals = fields.number("renewals");
    record.leaving = fields.flag_or("leaving", false);
    const bool has_name = row_key.starts_with(instance_row_prefix) &&
                          row_key.size() > instance_row_prefix.size();
    if (!fields.is_complete() || !has_name)
        return fail(errc::malformed, "instance.parse", std::string(row_key));
    record.name = row_key.substr(instance_row_prefix.size());
    return record;
}

} // namespace fulmarjunction
