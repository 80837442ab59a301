mod call_tests;
mod documents_tests;
mod formatting_tests;
mod member_documents_tests;
mod pages_tests;

/// A response over HTTP/1.1, as a stand-in for a replica gives it.
fn response(status: u16, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
