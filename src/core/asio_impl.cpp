// The one place where Asio's functions are compiled: separate compilation
// keeps every other source file quick to build.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
