const ID_DIGITS = 16;

/** The id of a numbered job as callers write it: 16 hexadecimal digits. */
export const toJobIdText = (number: number): string => number.toString(16).padStart(ID_DIGITS, '0');
