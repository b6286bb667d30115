/** Parses an option as a key of `choices`. Returns the default without the option, undefined when there is no such key. */
export const parseChoice = <Choice extends string>(
  choices: Readonly<Record<Choice, unknown>>,
  text: unknown,
  defaultChoice: Choice,
): Choice | undefined =>
  text === undefined ? defaultChoice : (Object.keys(choices) as Choice[]).find((choice) => choice === text);
