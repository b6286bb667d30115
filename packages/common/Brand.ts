/** Marks a primitive as one kind of value, so that two kinds of id cannot be mixed up. */
export type Brand<Base, Name extends string> = Base & { readonly _brand: Name };
