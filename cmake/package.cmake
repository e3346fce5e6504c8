# cs_package (NAME DEPS...): a static library from src/*.c (and *.cc) with the
# public headers of include/, and one cmocka program for each tests/test_*.c and
# tests/invariant_*.c, linked with a library of tests/support_*.c and run with the arguments of
# the variable PROGRAM_arguments, if set.
# A package without sources becomes an interface library.
#
# tests/without.txt lists "PROGRAM MECHANISM [ARGUMENTS]": the program must fail when the
# mechanism is turned off, which shows that the test can fail.
if (NOT CS_DAEMON_ONLY)
	add_library (cs_testing STATIC testing/cs_options.c testing/support_caller.c
		testing/support_loop.c testing/support_memory.c testing/support_server.c)
	target_include_directories (cs_testing PUBLIC testing)
	target_link_libraries (cs_testing PUBLIC PkgConfig::CMOCKA cs_kernel cs_base)
endif ()

function (cs_package name)
	file (GLOB sources CONFIGURE_DEPENDS src/*.c src/*.cc)
	file (GLOB tests CONFIGURE_DEPENDS tests/test_*.c tests/invariant_*.c)
	file (GLOB helpers CONFIGURE_DEPENDS tests/support_*.c)
	if (sources)
		add_library (cs_${name} STATIC ${sources})
		target_include_directories (cs_${name} PUBLIC include PRIVATE src)
		target_link_libraries (cs_${name} PUBLIC ${ARGN})
	else ()
		add_library (cs_${name} INTERFACE)
		target_include_directories (cs_${name} INTERFACE include)
		target_link_libraries (cs_${name} INTERFACE ${ARGN})
	endif ()
	if (CS_DAEMON_ONLY)
		return ()
	endif ()
	set (libraries cs_${name} cs_testing)
	if (helpers)
		add_library (${name}_support STATIC ${helpers})
		target_include_directories (${name}_support PRIVATE src tests)
		target_link_libraries (${name}_support PUBLIC ${libraries})
		set (libraries ${name}_support)
	endif ()
	foreach (t ${tests})
		get_filename_component (base ${t} NAME_WE)
		add_executable (${name}_${base} ${t})
		target_include_directories (${name}_${base} PRIVATE src tests)
		target_link_libraries (${name}_${base} PRIVATE ${libraries})
		add_test (NAME ${name}/${base} COMMAND ${name}_${base} ${${base}_arguments})
		set_tests_properties (${name}/${base} PROPERTIES TIMEOUT 120)
		# Daemon, back ends and callers of these share one process, which 90 endless answers
		# keep busy; at a fraction of a CPU they meet their deadlines first.
		if (base MATCHES "endless")
			set_tests_properties (${name}/${base} PROPERTIES PROCESSORS 5)
		endif ()
	endforeach ()
	if (EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/tests/without.txt)
		set_property (DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS tests/without.txt)
		file (STRINGS tests/without.txt pairs REGEX "^[a-z]")
		foreach (pair ${pairs})
			separate_arguments (words UNIX_COMMAND "${pair}")
			list (GET words 0 program)
			list (GET words 1 mechanism)
			list (REMOVE_AT words 0 1)
			set (test ${name}/${program}--without-${mechanism})
			add_test (NAME ${test}
				COMMAND ${name}_${program} --without ${mechanism} ${words})
			set_tests_properties (${test} PROPERTIES WILL_FAIL ON TIMEOUT 120)
		endforeach ()
	endif ()
endfunction ()
