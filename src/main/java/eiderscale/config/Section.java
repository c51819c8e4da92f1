package eiderscale.config;

import java.util.ArrayList;
import java.util.List;

/** A table of the file, or the root; {@code repeated}: a list of tables, one for each item. */
record Section(String name, boolean repeated, String doc, List<Key> keys, List<Section> sections) {
    Key key(String wanted) {
        for (Key key : keys) {
            if (key.name().equals(wanted)) {
                return key;
            }
        }
        return null;
    }

    Section section(String wanted) {
        for (Section section : sections) {
            if (section.name().equals(wanted)) {
                return section;
            }
        }
        return null;
    }

    List<String> names() {
        List<String> names = new ArrayList<>();
        keys.forEach(key -> names.add(key.name()));
        sections.forEach(section -> names.add(section.name()));
        return names;
    }
}
