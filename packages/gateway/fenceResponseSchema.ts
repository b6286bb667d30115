import { z } from 'zod';
import { listedTasksSchema } from '../ownership/listedTasksSchema';

/** Schema of an endpoint's response to a fence request: all tasks that run there. */
export const fenceResponseSchema = z.object({ tasks: listedTasksSchema });
