import { getNodeValue, type Node } from 'jsonc-parser';

/** Gives the plain value of a parsed JSON tree. */
export const toPlainValue = (root: Node): unknown => getNodeValue(root);
