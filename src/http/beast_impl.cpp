// The one place where Beast's functions are compiled.
#include <boost/beast/src.hpp>
