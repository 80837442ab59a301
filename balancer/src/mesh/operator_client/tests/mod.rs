mod client_tests;
mod member_documents_tests;
