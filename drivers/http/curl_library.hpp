#ifndef POMELOHINGE_DRIVERS_HTTP_CURL_LIBRARY_HPP
#define POMELOHINGE_DRIVERS_HTTP_CURL_LIBRARY_HPP

// With its checks of types, libcurl defines some functions as macros.
#define CURL_DISABLE_TYPECHECK
#include <curl/curl.h>

#undef curl_easy_getinfo
#undef curl_easy_setopt
#undef curl_multi_setopt

namespace pomelohinge {

/// The functions of libcurl that the project uses, without their prefix.
struct curl_library
{
    decltype(&curl_global_init) global_init;
    decltype(&curl_easy_init) easy_init;
    decltype(&curl_easy_setopt) easy_setopt;
    decltype(&curl_easy_getinfo) easy_getinfo;
    decltype(&curl_easy_cleanup) easy_cleanup;
    decltype(&curl_multi_init) multi_init;
    decltype(&curl_multi_setopt) multi_setopt;
    decltype(&curl_multi_add_handle) multi_add_handle;
    decltype(&curl_multi_remove_handle) multi_remove_handle;
    decltype(&curl_multi_socket_action) multi_socket_action;
    decltype(&curl_multi_info_read) multi_info_read;
    decltype(&curl_multi_cleanup) multi_cleanup;
    decltype(&curl_slist_append) slist_append;
    decltype(&curl_slist_free_all) slist_free_all;
};

/// Loads libcurl at the first call. libcurl needs some thirty shared libraries,
/// and until a program and its libraries are loaded it cannot block signals. A
/// daemon that is not linked with them is ready for signals much earlier.
/// Throws `std::runtime_error` if libcurl cannot be loaded.
curl_library const& curl();

} // namespace pomelohinge

#endif
