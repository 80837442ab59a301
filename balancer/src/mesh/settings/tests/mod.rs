mod reader_tests;
