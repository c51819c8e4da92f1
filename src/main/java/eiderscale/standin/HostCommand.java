package eiderscale.standin;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A command as a stand-in host has read it. {@code line}: its first line; {@code figures}: those of its P flag;
 * {@code data}: the value that it brings, empty for a read.
 */
public record HostCommand(String line, boolean write, String key, String id, Map<String, String> figures,
                          String data) {
    /** Reads the first line of an {@code mg} or {@code ms}; null for anything else. */
    static HostCommand of(String line, String data) {
        String[] words = line.split(" ");
        boolean write = words[0].equals("ms");
        if (words.length < 2 || !write && !words[0].equals("mg")) {
            return null;
        }
        String id = "";
        Map<String, String> figures = new LinkedHashMap<>();
        for (int i = write ? 3 : 2; i < words.length; i++) {
            if (words[i].startsWith("O")) {
                id = words[i].substring(1);
            } else if (words[i].startsWith("P")) {
                for (String figure : words[i].substring(1).split(",")) {
                    int equals = figure.indexOf('=');
                    figures.put(figure.substring(0, Math.max(0, equals)), figure.substring(equals + 1));
                }
            }
        }
        return new HostCommand(line, write, words[1], id, figures, data);
    }
}
