export {
	createDirectoryState, directoryFilter, type DirectoryState, type DirectoryView,
} from './directory-filter.js';
