import { checkNever } from '../common/checkNever';
import type { TableError } from './TableError';

/** Formats the refusal of an edit as one sentence. */
export const formatTableError = (error: TableError): string => {
  switch (error.kind) {
    case 'unknownCell':
      return `unknown cell ${error.cell}: expected ${error.expected}`;
    case 'badValue':
      return `bad value for ${error.cell}: ${error.expected}`;
    case 'rule':
      return `rule ${error.rule}: ${error.expected}`;
    case 'overtaken':
      return `overtaken by edit ${error.byEditId} of ${error.byOperator} at offset ${error.atOffset}`;
    default:
      return checkNever(error);
  }
};
