import { z } from 'zod';

/** Checks what a task takes, or a worker holds. */
export const demandSchema = z.object({
  cpus: z.number().min(0),
  memoryMb: z.number().min(0),
  accelerators: z.number().min(0),
  slots: z.number().min(0),
});
