/** Rules of the platform that a run checks; `exit` stands for a process that ended by itself. */
export type Rule = 'twice' | 'order' | 'budget' | 'unasked' | 'refused' | 'limit' | 'mixed' | 'lost' | 'revocation' | 'quota' | 'unauthorized' | 'exit';

/** A broken rule, with the time in the run. */
export type Violation = {readonly rule: Rule; readonly at: number; readonly message: string};
