include(CMakeFindDependencyMacro)
find_dependency(Boost 1.74)
find_dependency(Threads)
include("${CMAKE_CURRENT_LIST_DIR}/yuccamastTargets.cmake")
