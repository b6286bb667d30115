/** The file that states the outcome of a trace. */
export const toOutcomeFile = (name: string): string => `traces/${name}.outcome.json`;
