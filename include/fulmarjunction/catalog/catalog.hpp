/// @file
/// Configuration by the operators: client accounts, plans, endpoints and keys.
#pragma once

#include <fulmarjunction/core/error.hpp>
#include <fulmarjunction/core/names.hpp>
#include <fulmarjunction/core/time.hpp>

#include <boost/json/value.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace fulmarjunction {

/// An endpoint of a service.
struct endpoint_definition
{
    endpoint_name name;
    service_name service;
    std::string method;
    /// A target matches if its path equals this path or continues it after "/".
    std::string path;
    importance rank = importance::normal;
    execution kind = execution::idempotent;
    /// Public endpoint: no key is needed and no account is charged.
    bool open = false;
    /// Time limit for the head of the answer.
    milliseconds timeout{10'000};
};

/// Rate limit, weight and endpoints of a plan.
struct plan_definition
{
    std::string name;
    /// Requests per second over the whole fleet.
    double rate = 0;
    /// Requests that may be admitted in one burst.
    double burst = 0;
    /// Weight in fair queueing under overload.
    double weight = 1;
    std::set<endpoint_name> endpoints;
};

/// A client account and its plan.
struct account_definition
{
    client_account name;
    std::string plan;
};

/// Stored form of a key: its keyed hash, never the key itself.
struct key_record
{
    std::string id;
    client_account account;
    /// Keyed hash of the complete key text, in hexadecimal digits.
    std::string hash;
    bool withdrawn = false;
};

/// Plans and endpoints, as operators write them.
struct plan_list
{
    std::vector<plan_definition> plans;
    std::vector<endpoint_definition> endpoints;
};

/// Client accounts, as operators write them.
struct account_list
{
    std::vector<account_definition> accounts;
};

/// Parses the plan list. Unknown fields, wrong types, values out of range and
/// duplicate names are errors, whose detail names the field.
result<plan_list> parse_plan_list(const boost::json::value& document);

/// Parses the list of client accounts, as strictly as the plan list.
result<account_list> parse_account_list(const boost::json::value& document);

/// Parses the value of a `key/<id>` row.
result<key_record> parse_key_record(const boost::json::value& document);

/// Serializes to the document that the parser of the same type accepts.
boost::json::value to_json(const plan_list& list);
boost::json::value to_json(const account_list& list);
boost::json::value to_json(const key_record& record);

/// Checks that the plan of each account and the endpoints of each plan exist.
result<void> check_lists(const account_list& accounts, const plan_list& plans);

/// Configuration of a node, built from table rows.
class catalog
{
public:
    /// Applies one row of the table; rows that do not belong to the catalog are
    /// ignored. A row that cannot be parsed leaves the catalog unchanged.
    /// @param deleted whether the row was deleted
    result<void> apply(
        std::string_view row_key, const boost::json::value& value,
        bool deleted);

    /// Returns the endpoint with the longest matching path for a method and a
    /// target, or null. The query is ignored, and percent-encoded unreserved
    /// characters are decoded. A path that a backend server might interpret as
    /// another one (dot segments, empty segments, an encoded slash, a
    /// backslash, a semicolon, a fragment) has no endpoint: such a request
    /// could otherwise reach a unique endpoint under the name of another.
    const endpoint_definition*
    find_endpoint(std::string_view method, std::string_view target) const;

    /// Returns an endpoint by name, or null.
    const endpoint_definition* find_endpoint(std::string_view name) const;

    /// Returns the plan of an account, or null.
    const plan_definition* find_plan(const client_account& account) const;

    /// Returns the record of a key, or null if it is unknown or withdrawn.
    const key_record* find_key(std::string_view key_id) const;

    const account_list& accounts() const { return accounts_; }
    const plan_list& plans() const { return plans_; }
    const std::map<std::string, key_record, std::less<>>& keys() const
    {
        return keys_;
    }

private:
    /// Transparent hash: a lookup by string view makes no copy.
    struct string_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const;
    };
    template <class T>
    using string_map =
        std::unordered_map<std::string, T, string_hash, std::equal_to<>>;

    void set_plans(plan_list plans);
    void set_accounts(account_list accounts);
    result<void> apply_key(
        std::string_view key_id, const boost::json::value& value, bool deleted);
    const endpoint_definition*
    find_by_path(std::string_view method, std::string_view path) const;

    account_list accounts_;
    plan_list plans_;
    // Indices into the lists above: pointers would refer to the original after
    // a copy of the catalog.
    string_map<string_map<std::size_t>> endpoint_by_path_by_method_;
    string_map<std::size_t> endpoint_by_name_;
    string_map<std::size_t> plan_by_name_;
    string_map<std::string> plan_by_account_;
    std::map<std::string, key_record, std::less<>> keys_;
};

/// A new key: shown to the operator once, stored only as its hash.
struct new_key
{
    /// `fjk_<id>_<secret>`
    std::string text;
    key_record record;
};

/// Generates a random key for an account.
/// @param pepper secret of the deployment for key hashes
new_key make_key(const client_account& account, std::string_view pepper);

/// Returns the id in the text of a key, or nothing if the text is malformed.
std::optional<std::string_view> parse_key_id(std::string_view text);

/// Checks a key against its record in constant time.
bool verify_key(
    std::string_view text, const key_record& record, std::string_view pepper);

} // namespace fulmarjunction
