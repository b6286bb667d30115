import { z } from 'zod';
import { isHostPort } from './isHostPort';

/** Schema of the address of another process, as `HOST:PORT`. */
export const hostPortSchema = z.string().refine(isHostPort, 'expected HOST:PORT');
