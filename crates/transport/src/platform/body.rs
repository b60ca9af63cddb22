//! Reads response bodies of limited size.

use reqwest::Response;

use crate::services::{Result, ServiceError};

/// Returns the body of a response.
///
/// # Errors
///
/// Fails if the body has more than `limit` bytes or cannot be read to its end.
pub async fn read_limited(mut response: Response, limit: usize) -> Result<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = response
        .chunk()
        .await
        .map_err(|error| super::no_answer(&error))?
    {
        if body.len() + chunk.len() > limit {
            return Err(ServiceError::BadAnswer(format!(
                "the response body has more than {limit} bytes"
            )));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
