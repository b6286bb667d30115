import { checkNever } from '../common/checkNever';
import type { PlatformError } from './PlatformError';

/** Formats a platform error as a short sentence. */
export const formatPlatformError = (error: PlatformError): string => {
  switch (error.kind) {
    case 'unreachable':
      return `The platform is unreachable: ${error.reason}.`;
    case 'timeout':
      return `The platform did not answer within ${error.afterMs} ms.`;
    case 'refused':
      return `The platform refused with status ${error.status}: ${error.reason}.`;
    case 'badAnswer':
      return `The platform's answer is not understood: ${error.reason}.`;
    default:
      return checkNever(error);
  }
};
