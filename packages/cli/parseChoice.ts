/** Parses the text of an option as a key of `choices`. Returns the default when `text` is undefined, and undefined when it is no key. */
export const parseChoice = <Choice extends string>(
  choices: Readonly<Record<Choice, unknown>>,
  text: unknown,
  defaultChoice: Choice,
): Choice | undefined =>
  text === undefined ? defaultChoice : (Object.keys(choices) as Choice[]).find((choice) => choice === text);
