//! Digests of idempotency keys.

use basilhaven::claim;

#[test]
fn keys_are_limited_in_length_and_specific_to_their_service() {
    let key = |service: &str, key: &[u8]| claim::Key::new(&service.parse().unwrap(), key);
    assert!(key("catalogo", b"").is_none());
    assert!(key("catalogo", &[b'k'; 256]).is_none());
    assert!(key("catalogo", b"two words").is_none());
    assert!(key("catalogo", b"order-1") != key("spedizioni", b"order-1"));
    assert!(key("catalogo", b"order-1") == key("catalogo", b"order-1"));
}

#[test]
fn each_key_of_each_service_has_its_own_row() {
    let row = |service: &str, key: &[u8]| {
        claim::Key::new(&service.parse().unwrap(), key).expect("a valid key").row()
    };
    assert_eq!(row("catalogo", b"order-1"), row("catalogo", b"order-1"));
    assert_ne!(row("catalogo", b"order-1"), row("catalogo", b"order-2"));
    assert_ne!(row("catalogo", b"order-1"), row("spedizioni", b"order-1"));
    assert_eq!(row("catalogo", b"order-1").len(), "basilhaven-claim-".len() + 32);
}
