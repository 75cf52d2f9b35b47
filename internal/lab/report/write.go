package report

import "path/filepath"

// PageName is the file name of the page.
const PageName = "report.html"

// Write reads every result in a directory and writes plots and a page into it.
// It returns the path of the page. It fails with ErrInput or ErrOutput.
func Write(directory string) (string, error) {
	read, err := readInput(directory)
	if err != nil {
		return "", err
	}
	sections, err := read.sections()
	if err != nil {
		return "", err
	}
	for _, shown := range sections {
		for _, drawn := range shown.Pictures {
			if err := drawn.write(directory); err != nil {
				return "", err
			}
		}
	}
	path := filepath.Join(directory, PageName)
	return path, writePage(path, sections)
}

// sections returns what the page shows, in its order.
func (i input) sections() ([]section, error) {
	var sections []section
	for _, run := range i.experiments {
		shown, err := experimentSection(run)
		if err != nil {
			return nil, err
		}
		sections = append(sections, shown)
	}
	for _, run := range i.loads {
		sections = append(sections, loadSection(run))
	}
	return sections, nil
}
