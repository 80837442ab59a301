mod call_tests;
mod documents_tests;
mod formatting_tests;
mod member_documents_tests;
mod pages_tests;

/// Builds an HTTP/1.1 response for a fake replica.
fn response(status: u16, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
