import { z } from 'zod';
import { isHostPort } from './isHostPort';

/** Schema of the address of a process, `HOST:PORT`. */
export const hostPortSchema = z.string().refine(isHostPort, 'expected HOST:PORT');
