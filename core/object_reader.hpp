#ifndef POMELOHINGE_CORE_OBJECT_READER_HPP
#define POMELOHINGE_CORE_OBJECT_READER_HPP

#include "core/json_text.hpp"
#include "core/name_table.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace pomelohinge {

/// Whether a field must be present.
enum class presence { required, optional };

/// Reads the fields of one JSON object into typed values. Each error is added
/// to the findings with its position, and the output value is left unchanged.
/// The same holds, without a finding, for an optional field that is absent.
class object_reader
{
public:
    /// Reads the object at the JSON pointer `pointer`. `document` and `found`
    /// must outlive the reader.
    object_reader(
        json_document const& document, std::string pointer, findings& found);

    /// Whether the value is an object; if not, a finding has been added.
    bool valid() const { return object_ != nullptr; }

    /// Reads a string.
    void text(std::string_view field, std::string& out,
        presence expected = presence::required);
    /// Reads a boolean.
    void flag(std::string_view field, bool& out,
        presence expected = presence::required);
    /// Reads an integer in the closed range from `low` to `high`.
    void integer(std::string_view field, std::int64_t& out, std::int64_t low,
        std::int64_t high, presence expected = presence::required);
    /// Reads a number in the closed range from `low` to `high`.
    void number(std::string_view field, double& out, double low, double high,
        presence expected = presence::required);
    /// Reads an array of strings.
    void text_list(std::string_view field, std::vector<std::string>& out,
        presence expected = presence::required);

    /// Reads the name of an enumerator, as given by the name table of `Enum`.
    template <NamedEnum Enum>
    void name(std::string_view field, Enum& out,
        presence expected = presence::required)
    {
        std::string value;
        auto const before = found_.items().size();
        text(field, value, expected);
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

    /// Adds a finding with the path and position of `field`.
    void add(std::string_view field, std::string message);

    /// Allows `field` without reading it, so that `finish` does not report it.
    void allow(std::string_view field) { known_fields_.emplace(field); }

    /// Whether the field is present.
    bool has(std::string_view field) const;

    /// Adds a finding for each field that was neither read nor allowed.
    void finish();

private:
    nlohmann::json const* find(std::string_view field, presence expected);

    json_document const& document_;
    std::string pointer_;
    findings& found_;
    nlohmann::json const* object_ = nullptr;
    std::set<std::string, std::less<>> known_fields_;
};

} // namespace pomelohinge

#endif
