#include "drivers/front/http_forms.hpp"
#include "drivers/platform/product_store.hpp"
#include "main/daemon_main.hpp"

namespace {

/// The native platform of pomelohinge.
struct product_platform
{
    using front_dialect = pomelohinge::product_front_dialect;
    using upstream_dialect = pomelohinge::product_upstream_dialect;
    using store = pomelohinge::product_store;
    using records = pomelohinge::product_records;

    static std::optional<pomelohinge::configuration> decode_configuration(
        std::string_view text, pomelohinge::findings& found)
    {
        return pomelohinge::decode_product_configuration(text, found);
    }
};

} // namespace

int main(int argc, char** argv)
{
    return static_cast<int>(
        pomelohinge::daemon_main<product_platform>(argc, argv, "pomelohinged"));
}
