#ifndef POMELOHINGE_CORE_OBJECT_READER_HPP
#define POMELOHINGE_CORE_OBJECT_READER_HPP

#include "core/json_text.hpp"
#include "core/name_table.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace pomelohinge {

/// Whether a field may be left out.
enum class presence { required, optional };

/// Reads the fields of one JSON object into typed values. Each problem is
/// added to the findings with its place; the value then stays as it was.
class object_reader
{
public:
    /// Reads the object at `pointer` of `document`, which must outlive the
    /// reader.
    object_reader(
        json_document const& document, std::string pointer, findings& found);

    /// Whether the value is an object at all; a finding was added if not.
    bool valid() const { return object_ != nullptr; }

    void text(std::string_view field, std::string& out,
        presence need = presence::required);
    void flag(
        std::string_view field, bool& out, presence need = presence::required);
    /// Reads a whole number between `low` and `high`, both included.
    void integer(std::string_view field, std::int64_t& out, std::int64_t low,
        std::int64_t high, presence need = presence::required);
    /// Reads a number between `low` and `high`, both included.
    void number(std::string_view field, double& out, double low, double high,
        presence need = presence::required);
    void text_list(std::string_view field, std::vector<std::string>& out,
        presence need = presence::required);

    /// Reads a name from the table of `Enum`.
    template <NamedEnum Enum>
    void name(
        std::string_view field, Enum& out, presence need = presence::required)
    {
        std::string value;
        auto const before = found_.items().size();
        text(field, value, need);
        if (found_.items().size() != before || !has(field))
            return;
        if (auto const parsed = from_name<Enum>(value)) {
            out = *parsed;
            return;
        }
        std::string allowed;
        for (auto const& it : name_table<Enum>)
            allowed += (allowed.empty() ? "" : ", ") + std::string(it.name);
        add(field, "\"" + value + "\" is not one of: " + allowed);
    }

    /// Adds a finding at `field`.
    void add(std::string_view field, std::string message);

    /// Marks `field` as known without reading it.
    void allow(std::string_view field) { known_.emplace(field); }

    /// Whether the field is present.
    bool has(std::string_view field) const;

    /// Reports each field that no call asked for.
    void finish();

private:
    nlohmann::json const* find(std::string_view field, presence need);

    json_document const& document_;
    std::string pointer_;
    findings& found_;
    nlohmann::json const* object_ = nullptr;
    std::set<std::string, std::less<>> known_;
};

} // namespace pomelohinge

#endif
