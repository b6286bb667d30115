/** How grave a line is by the part that writes it. */
export type LineLevel = 'info' | 'warn' | 'error';
