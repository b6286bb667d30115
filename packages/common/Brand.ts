/** Nominal type over a primitive, so that the compiler tells kinds of ids apart. */
export type Brand<Base, Name extends string> = Base & { readonly _brand: Name };
