//===- CurlLibrary.cpp ----------------------------------------------------===//
#include "net/CurlLibrary.h"

#include <dlfcn.h>
#include <stdexcept>
#include <string>

namespace shallot::internal {

namespace {

/// The interface that curl/curl.h declares.
constexpr const char *FileName = "libcurl.so.4";

class LoadedLibrary {
public:
  LoadedLibrary() : Handle(::dlopen(FileName, RTLD_LAZY)) {
    if (!Handle)
      throw std::runtime_error(std::string("install libcurl 4: ") +
                               ::dlerror());
  }

  template <typename Function>
  void find(const char *Name, Function &Found) const {
    Found = reinterpret_cast<Function>(::dlsym(Handle, Name));
    if (!Found)
      throw std::runtime_error(std::string("libcurl 4 lacks ") + Name);
  }

private:
  void *Handle; ///< Stays open: the library is used until the process ends.
};

CurlLibrary load() {
  LoadedLibrary From;
  CurlLibrary C{};
  From.find("curl_global_init", C.GlobalInit);
  From.find("curl_easy_init", C.EasyInit);
  From.find("curl_easy_setopt", C.EasySetopt);
  From.find("curl_easy_getinfo", C.EasyGetinfo);
  From.find("curl_easy_cleanup", C.EasyCleanup);
  From.find("curl_multi_init", C.MultiInit);
  From.find("curl_multi_setopt", C.MultiSetopt);
  From.find("curl_multi_add_handle", C.MultiAddHandle);
  From.find("curl_multi_remove_handle", C.MultiRemoveHandle);
  From.find("curl_multi_socket_action", C.MultiSocketAction);
  From.find("curl_multi_info_read", C.MultiInfoRead);
  From.find("curl_multi_cleanup", C.MultiCleanup);
  C.GlobalInit(CURL_GLOBAL_DEFAULT);
  return C;
}

} // namespace

const CurlLibrary &curl() {
  static const CurlLibrary Loaded = load();
  return Loaded;
}

} // namespace shallot::internal
