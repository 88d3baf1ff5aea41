import {formatSettingsReference} from './settings-reference.js';

process.stdout.write(formatSettingsReference());
