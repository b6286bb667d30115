/** Checks at compile time that all cases of a discriminated union are handled; throws if called. */
export const checkNever = (value: never): never => {
  throw new Error(`Unexpected case: ${JSON.stringify(value)}`);
};
