/** Options that several commands share. */
export const sharedOptions = {
  settings: { type: 'string', help: 'settings file, JSON with comments (needed)' },
  box: { type: 'string', help: 'entry box; goes before the one in the settings' },
  json: { type: 'boolean', help: 'print JSON for programs' },
} as const;
