/** Nominal type over a primitive, so that the compiler distinguishes kinds of ids. */
export type Brand<Base, Name extends string> = Base & { readonly _brand: Name };
