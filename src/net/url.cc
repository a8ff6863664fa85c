#include "net/url.h"

#include <curl/curl.h>

#include <memory>
#include <new>
#include <utility>

#include "core/error.h"

namespace comfreyspring::net {
namespace {

/** Percent-encodes all bytes but the unreserved ones of RFC 3986. */
std::string Encode(std::string_view text) {
  // The library takes a length of 0 for a string that ends with a zero byte.
  if (text.empty()) return {};
  const std::unique_ptr<char, decltype(&curl_free)> encoded(
      curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())),
      &curl_free);
  if (encoded == nullptr) throw std::bad_alloc();
  return encoded.get();
}

}  // namespace

url::url(const core::network_address& address) : url(address, "/") {}

url::url(const core::network_address& address, literal path)
    : text_("http://" + address.ToString()) {
  AddPath(path);
}

url url::Parse(std::string text) {
  const std::unique_ptr<CURLU, decltype(&curl_url_cleanup)> parser(
      curl_url(), &curl_url_cleanup);
  if (parser == nullptr) throw std::bad_alloc();
  char* scheme = nullptr;
  const bool is_url =
      curl_url_set(parser.get(), CURLUPART_URL, text.c_str(), 0) == CURLUE_OK &&
      curl_url_get(parser.get(), CURLUPART_SCHEME, &scheme, 0) == CURLUE_OK;
  const std::unique_ptr<char, decltype(&curl_free)> kept(scheme, &curl_free);
  if (!is_url || std::string_view(scheme) != "http") {
    throw core::invalid_value_error("'" + text + "' is not an http URL");
  }
  url result;
  result.has_query_ = text.find('?') != std::string::npos;
  // What is added to the path begins with a slash.
  while (!result.has_query_ && text.back() == '/') text.pop_back();
  result.text_ = std::move(text);
  return result;
}

url& url::AddPath(literal path) {
  text_ += path.Text();
  return *this;
}

url& url::AddSegment(std::string_view text) {
  text_ += '/';
  text_ += Encode(text);
  return *this;
}

url& url::AddParameter(literal name, std::string_view value) {
  text_ += has_query_ ? '&' : '?';
  has_query_ = true;
  text_ += name.Text();
  text_ += '=';
  text_ += Encode(value);
  return *this;
}

}  // namespace comfreyspring::net
