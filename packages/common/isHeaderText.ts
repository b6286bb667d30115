const VISIBLE_ASCII = /^[\x21-\x7e]+$/;

/** Returns whether a text can be the value of an HTTP header as it is: one or more visible ASCII characters. */
export const isHeaderText = (text: string): boolean => VISIBLE_ASCII.test(text);
