/** Closes a discriminated union: the compiler refuses the call while a case is missing. */
export const checkNever = (value: never): never => {
  throw new Error(`Unexpected case: ${JSON.stringify(value)}`);
};
