mod parser_tests;
