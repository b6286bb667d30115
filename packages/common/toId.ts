/** Converts a validated string to a branded id. Use it only where values enter the program. */
export const toId = <Id extends string>(text: string): Id => text as Id;
