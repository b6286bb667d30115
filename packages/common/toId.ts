/** Gives a checked string the brand of an id. Call it only where a value enters the program. */
export const toId = <Id extends string>(text: string): Id => text as Id;
