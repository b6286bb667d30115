/** The key of a table that an option names; the default without the option, undefined when the table has no such key. */
export const parseChoice = <Choice extends string>(
  table: Readonly<Record<Choice, unknown>>,
  text: unknown,
  defaultChoice: Choice,
): Choice | undefined =>
  text === undefined ? defaultChoice : (Object.keys(table) as Choice[]).find((choice) => choice === text);
