#include "drivers/front/http_messages.hpp"
#include "drivers/platform/native_store.hpp"
#include "main/daemon_main.hpp"

namespace {

/// The types that connect the fleet to its native platform interface.
struct native_platform
{
    using front_dialect = pomelohinge::native_front_dialect;
    using upstream_dialect = pomelohinge::native_upstream_dialect;
    using store = pomelohinge::native_store;
    using records = pomelohinge::native_records;

    static std::optional<pomelohinge::configuration> decode_configuration(
        std::string_view text, pomelohinge::findings& found)
    {
        return pomelohinge::decode_native_configuration(text, found);
    }
};

} // namespace

int main(int argc, char** argv)
{
    return static_cast<int>(pomelohinge::daemon_main<native_platform>(
        argc, argv, {"pomelohinged", ""}));
}
