//! Property tests with a fixed seed, so that every run checks the same cases.

/// Generates a test for each property.
macro_rules! seeded {
    ($($(#[$meta:meta])* fn $name:ident($($arg:ident: $ty:ty),* $(,)?) -> bool $body:block)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                fn holds($($arg: $ty),*) -> bool $body
                let random = quickcheck::Gen::from_size_and_seed(100, 20_261_204);
                let mut check = quickcheck::QuickCheck::new().rng(random);
                check.quickcheck(holds as fn($($ty),*) -> bool);
            }
        )*
    };
}

pub(crate) use seeded;
