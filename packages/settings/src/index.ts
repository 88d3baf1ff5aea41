/**
Parsing and validation of settings files and configuration bundles in INI format.

@packageDocumentation
*/
export {parseBundle} from './bundle-text.js';
export {createKeyPair, signBundle, verifyBundle} from './bundle-signature.js';
export {entrySettingsSchema, readEntrySettings, type EntrySettings} from './entry-settings.js';
export {SettingsError} from './settings-error.js';
