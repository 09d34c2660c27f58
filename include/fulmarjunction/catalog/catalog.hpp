/// @file
/// The operators' configuration: client accounts, plans, endpoints, keys.
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

/// One endpoint that services offer.
struct endpoint_definition
{
    endpoint_name name;
    service_name service;
    std::string method;
    /// A target matches when its path equals this or continues it after "/".
    std::string path;
    importance rank = importance::normal;
    execution kind = execution::idempotent;
    /// Open to all: no key is needed and no account is charged.
    bool open = false;
    /// Longest time for an answer's head.
    milliseconds timeout{10'000};
};

/// What a plan may use.
struct plan_definition
{
    std::string name;
    /// Requests per second over the whole fleet.
    double rate = 0;
    /// Requests that may be admitted at once.
    double burst = 0;
    /// Weight for fair sharing under overload.
    double weight = 1;
    std::set<endpoint_name> endpoints;
};

/// One client account and its plan.
struct account_definition
{
    client_account name;
    std::string plan;
};

/// One key as it is kept: never the key itself, only its keyed hash.
struct key_record
{
    std::string id;
    client_account account;
    /// Keyed hash of the whole key, in hexadecimal digits.
    std::string hash;
    bool withdrawn = false;
};

/// The list of plans and endpoints, as operators write it.
struct plan_list
{
    std::vector<plan_definition> plans;
    std::vector<endpoint_definition> endpoints;
};

/// The list of client accounts, as operators write it.
struct account_list
{
    std::vector<account_definition> accounts;
};

/// Reads the plan list, refusing unknown fields, wrong types, values out of
/// range and names that occur twice; the error's detail names the field.
result<plan_list> parse_plan_list(const boost::json::value& document);

/// Reads the list of client accounts, as strictly as the plan list.
result<account_list> parse_account_list(const boost::json::value& document);

/// Reads the value of a `key/<id>` row.
result<key_record> parse_key_record(const boost::json::value& document);

/// Returns the document that the parser of the same type reads.
boost::json::value to_json(const plan_list& list);
boost::json::value to_json(const account_list& list);
boost::json::value to_json(const key_record& record);

/// Checks that every account's plan and every plan's endpoint exist.
result<void> check_lists(const account_list& accounts, const plan_list& plans);

/// The configuration that a node works with, built from table rows.
class catalog
{
public:
    /// Applies one row of the table; other rows than the catalog's are
    /// ignored. A row that cannot be parsed leaves the catalog as it was.
    /// @param deleted whether the row was deleted
    result<void> apply(
        std::string_view row_key, const boost::json::value& value,
        bool deleted);

    /// Returns the endpoint for a method and a target, longest path first,
    /// or null. The query is ignored, and percent-encoded unreserved
    /// characters are decoded. A path that a backend server might read as
    /// another one (dot segments, empty segments, an encoded slash, a
    /// backslash, a semicolon, a fragment) has no endpoint: it could
    /// otherwise reach a unique endpoint under the name of another.
    const endpoint_definition*
    find_endpoint(std::string_view method, std::string_view target) const;

    /// Returns the endpoint with this name, or null.
    const endpoint_definition* find_endpoint(std::string_view name) const;

    /// Returns the plan of an account, or null.
    const plan_definition* find_plan(const client_account& account) const;

    /// Returns the record of a key that is not withdrawn, or null.
    const key_record* find_key(std::string_view key_id) const;

    const account_list& accounts() const { return accounts_; }
    const plan_list& plans() const { return plans_; }
    const std::map<std::string, key_record, std::less<>>& keys() const
    {
        return keys_;
    }

private:
    /// Hashes strings and views alike, so that a lookup copies nothing.
    struct text_hash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const;
    };
    template <class T>
    using text_map =
        std::unordered_map<std::string, T, text_hash, std::equal_to<>>;

    void set_plans(plan_list plans);
    void set_accounts(account_list accounts);
    result<void> apply_key(
        std::string_view key_id, const boost::json::value& value, bool deleted);
    const endpoint_definition*
    find_path(std::string_view method, std::string_view path) const;

    account_list accounts_;
    plan_list plans_;
    // Positions in the lists above: pointers would not survive a copy.
    text_map<text_map<std::size_t>> endpoint_by_path_by_method_;
    text_map<std::size_t> endpoint_by_name_;
    text_map<std::size_t> plan_by_name_;
    text_map<std::string> plan_by_account_;
    std::map<std::string, key_record, std::less<>> keys_;
};

/// A new key: shown once to the operator, kept only as its hash.
struct new_key
{
    /// `fjk_<id>_<secret>`
    std::string text;
    key_record record;
};

/// Makes a random key for an account.
/// @param pepper the deployment's key-hash secret
new_key make_key(const client_account& account, std::string_view pepper);

/// Returns the id part of a key's text, if it has the form of a key.
std::optional<std::string_view> parse_key_id(std::string_view text);

/// Checks a key against its record in constant time.
bool verify_key(
    std::string_view text, const key_record& record, std::string_view pepper);

} // namespace fulmarjunction
